# Prints a results file as a Markdown table: pooled over its seeds, with the
# smallest and largest value of a seed where they differ.
def range(f): [.[] | f] | (min | tostring) as $a | (max | tostring) as $b | if $a == $b then $a else "\($a)–\($b)" end;
def ms: . / 100 | round / 10;
def share: if .requests == 0 then 0 else .in_time / .requests * 10000 | round / 100 end;
def counts(f): [.[] | f | to_entries[]] | group_by(.key) | map("\(.[0].key) \(map(.value) | add)") | join(", ");
[.runs[] | .policy as $p | .seed as $s | .rows[] | . + {policy: $p, seed: $s}] as $rows
| "| phase | class | policy | in time % | p50 ms | p99 ms | goodput /s | outcomes |",
  "| --- | --- | --- | --- | --- | --- | --- | --- |",
  ($rows | group_by([.phase, .class, .policy]) | map(select(length > 0))
   | .[] | "| \(.[0].phase) | \(.[0].class), \(.[0].rank) | \(.[0].policy) | \(range(share)) | \(range(.latency.p50_us | ms)) | \(range(.latency.p99_us | ms)) | \(range(.goodput | round)) | \(counts(.outcomes)) |")
