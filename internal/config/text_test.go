package config

// smallText is a valid text with two regions and three zones.
const smallText = `; shop of a small team
[zone munich-a]
region = munich ; first region
[zone munich-b]
region = munich
[zone frankfurt-a]
region = frankfurt

[service checkout]
depends on = registry
target = 99.9% in 300ms
[service registry]

[route place-order]
service = checkout
match = POST /orders
rank = urgent
kind = once
deadline = 800ms
[route read-order]
service = checkout
match = GET /orders/*
[route any-order]
service = checkout
match = * /orders/*
rank = background
kind = idempotent
[route numbers]
service = registry
match = GET /numbers/*

[backend checkout-01]
service = checkout
zone = munich-a
address = 127.0.0.1:21001
slots = 8
[backend checkout-02]
service = checkout
zone = munich-b
address = 127.0.0.1:21002
slots = 8
[backend checkout-03]
service = checkout
zone = frankfurt-a
address = 127.0.0.1:21003
slots = 4
[backend registry-01]
service = registry
zone = munich-a
address = 127.0.0.1:21004
slots = 3

[callers bavaria]
blocks = 10.64.0.0/12, 2001:db8::/32
home = munich-a, munich-b
[callers hesse]
blocks = 10.128.0.0/12
home = frankfurt-a

[limits]
shift cap = 20% of capacity per 1m0s
urgent floor = 50% # of the slots
link frankfurt-munich = 2Gbit
`

// brokenText contains examples of the problems that Parse reports.
const brokenText = `stray = 1
[zone munich-a]
[zone munich-b]
region = munich
regoin = munich
[zone frankfurt-a]
region = frankfurt
[zone munich-b]
region = munich
[zoen munich-c]
[zone munich d]
region = munich
[service checkout]
depends on = regstry, catalogue
target = 100% in 300ms
[service catalogue]
depends on = registry
[service registry]
depends on = checkout, registry
[service unused]
this line has no delimiter
[route orders]
service = checkout
match = POST /orders
kind = twice
deadline = 800
[route more-orders]
service = chekout
match = POST /orders
rank = soon
kind = once
[route write]
service = registry
match = PUT numbers
[route write-2]
service = catalogue
match = PUT /numbers
[backend checkout-01]
service = checkout
zone = munich-e
address = 127.0.0.1:21001
slots = 0
[backend checkout-02]
service = checkout
zone = munich-b
address = 127.0.0.1:21001
[backend checkout-03]
service = catalogue
zone = munich-b
address = checkout:80
slots = 3
slots = 4
[backend registry-01]
service = registry
zone = munich-b
address =
slots = """3
[callers bavaria]
blocks = 10.64.0.0/12, 10.1.2.3/8, nowhere
home = munich-b
[callers hesse]
blocks = 10.65.0.0/16
home =
[callers open
[] ; nothing
[limits] trailing
shift cap = 10% of everything
urgent floor = 80%
normal floor = lots
link frankfurt-munich = 4Gbit
link munich-frankfurt = 4Gbit
link munich-paris = fast
[limits]
`
