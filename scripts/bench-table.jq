# Prints a results file as a Markdown table. Outcomes are summed over all seeds;
# other columns show the smallest and largest value of any seed if they differ.
def min_max(f): [.[] | f] | (min | tostring) as $a | (max | tostring) as $b | if $a == $b then $a else "\($a)–\($b)" end;
def us_to_ms: . / 100 | round / 10;
def in_time_percent: if .requests == 0 then 0 else .in_time / .requests * 10000 | round / 100 end;
def sum_by_key(f): [.[] | f | to_entries[]] | group_by(.key) | map("\(.[0].key) \(map(.value) | add)") | join(", ");
[.runs[] | .policy as $p | .seed as $s | .rows[] | . + {policy: $p, seed: $s}] as $rows
| "| phase | class | policy | in time % | p50 ms | p99 ms | goodput /s | outcomes |",
  "| --- | --- | --- | --- | --- | --- | --- | --- |",
  ($rows | group_by([.phase, .class, .policy]) | map(select(length > 0))
   | .[] | "| \(.[0].phase) | \(.[0].class), \(.[0].rank) | \(.[0].policy) | \(min_max(in_time_percent)) | \(min_max(.latency.p50_us | us_to_ms)) | \(min_max(.latency.p99_us | us_to_ms)) | \(min_max(.goodput | round)) | \(sum_by_key(.outcomes)) |")
