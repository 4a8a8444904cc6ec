# The report of owner-changes.sh. Input: the events, with `t` and `clock`.

# Times and names for the report.

def seconds: "\(round / 1000) s";
def keys_text: "\(.[0])-\(.[1])";
def optional_ms: if . == null then "-" else round | tostring end;

def end_text:
  if . == 0 then "answered" elif . == 1 then "not sent" elif . == 2 then "no answer"
  elif . == 3 then "unreadable answer" elif . == 4 then "answer too large" else "unknown" end;

def connection_text:
  if .connection_reused == true then "kept connection"
  elif .connection_reused == false then "new connection" else "unknown connection" end;

def grant_text($now):
  if . == null then "none"
  else "\($now - .t | round) ms before, keys \([.from, .to] | keys_text), token \(.fence), "
    + "\(.end | end_text) (end \(.end), status \(.status)), open for \(.open_ms // "unknown") ms, "
    + connection_text end;

def release_text($now):
  if . == null then "none"
  else "\($now - .t | round) ms before, keys \([.from, .to] | keys_text), token \(.fence), "
    + (if .answered then "answered" else "not answered (end \(.end))" end) end;

# What the log has and what it lacks.

# Object of the arrays of events that have the same key.
def grouped_by(key): group_by(key) | map({ key: (.[0] | key), value: . }) | from_entries;

# Spans in which lines of one event name of one VM were left out, from these lines in their order. Lines are
# left out between the last one of a second and the second's end. The next line of the process tells how
# many; if there is none, they may have been left out after the last line that is written in a second.
def gaps($starts):
  . as $lines
  | [range(length) as $i
     | $lines[$i] as $line | $lines[$i + 1] as $next
     | ($line.steady_ms / 1000 | floor) as $second
     | ($line.t + ($second + 1) * 1000 - $line.steady_ms) as $second_end
     | ($starts | map(select(.t > $line.t and ($next == null or .t <= $next.t))) | length > 0) as $ends
     | if $next != null and ($ends | not) then
         select(($next.dropped // 0) > 0) | [$line.t, ([$second_end, $next.t] | min)]
       else
         select($i + 1 >= $max_lines_per_second
                and ($lines[$i + 1 - $max_lines_per_second].steady_ms / 1000 | floor) == $second)
         | [$line.t, $second_end]
       end];

# Terms of coordinators, with `ended` null if the log doesn't tell when.
def terms:
  . as $events
  | map(select(.event == "coordinator_began")
        | . as $began
        | { vm, epoch, clock, began: .t,
            ended: ($events
                    | map(select(.vm == $began.vm and .clock == $began.clock and .t > $began.t
                                 and (.event == "start" or .event == "stop"
                                      or (.event == "coordinator_resigned" and .epoch == $began.epoch))))
                    | map(.t) | min) });

# Whether lines of the event can be missing that the change's VM wrote in the time before it.
def may_lack($log; $event; $time):
  . as $change
  | (.t - (.free_ms // 0) - $time) as $from
  | ($log.gaps["\(.vm) \($event)"] // [] | any(.[]; .[1] >= $from and .[0] <= $change.t))
    or ($log.first[.vm] > $from
        and ($log.terms | any(.[]; .vm == $change.vm and .epoch == $change.epoch) | not));

def is_process_end: .status == 421 and .connection_reused != true;

# Whether the coordinator can't know if the server has taken the grant, as in grantAnswerOf().
def is_unanswered:
  .event == "grant_failed" and .end != 1 and (.end != 0 or (.status != 409 and (is_process_end | not)));

def overlaps($ranges): . as $call | any($ranges[]; .[0] <= $call.to and .[1] >= $call.from);

# Adds to a change what the log has on it. `unanswered` is the last unanswered grant to the previous owner;
# after a release, to which only its own keys matter, the last one of keys that change. `release` is the last
# one of keys that change, or of any if there is none.
def with_evidence($log):
  . as $change
  | ($log.servers[.previous] // [] | map(select(.clock == $change.clock and .t <= $change.t))) as $calls
  | (.ranges // []) as $ranges
  | .failed = ($calls | map(select(.event == "grant_failed")) | last)
  | .unanswered = ($calls
      | map(select(is_unanswered)
            | select($change.freed_by != "release" or overlaps($ranges)))
      | last)
  | ($calls | map(select(.event == "release"))) as $releases
  | .release = (($releases | map(select(overlaps($ranges))) | last) // ($releases | last))
  | .margin = (if .unanswered then .t - .unanswered.t else null end)
  | .failed_margin = (if .failed then .t - .failed.t else null end)
  | ($calls | map(select(.vm == $change.vm))) as $own
  | .has_process_end = ($own | any(.[]; is_process_end))
  # A release has the token above that of the grants it ends.
  | .unreleased = ($ranges
      | map(select(. as $range | $own
                   | any(.[]; .event == "release" and .answered and .fence == $range[2] + 1
                              and .from <= $range[0] and .to >= $range[1]) | not)));

# Adds to the changes, which are in the order of their times, the change by which another VM has changed owners
# with the same epoch or a higher one before. Changes without a time common to all VMs are left as they are.
def with_interleaving:
  [foreach .[] as $change ({ highest: null };
     .highest as $highest
     | .change = ($change
         | .later_epoch = (if .clock == "" and $highest != null and $highest.vm != .vm
                              and $highest.epoch >= .epoch
                           then $highest else null end))
     | if $change.clock == "" and ($highest == null or $change.epoch > $highest.epoch)
       then .highest = ($change | { vm, epoch, t }) else . end;
     .change)];

# Other coordinators whose term overlapped with that of the change, up to a short time before it.
def overlapping_terms($log):
  . as $change
  | ($log.terms | map(select(.vm == $change.vm and .epoch == $change.epoch and .began <= $change.t)) | last) as $own
  | ($change.t - $evidence_ms) as $from
  | if $own == null then []
    else $log.terms
      | map(select(.clock == $change.clock and (.vm != $own.vm or .epoch != $own.epoch) and .began <= $change.t)
            | select(if .ended == null then ([.began, $own.began] | max) > $from
                     else .ended > $own.began and .ended > $from end))
    end;

# The findings on a change: which `kind` of reason the log doesn't bear out, for which `ranges`, and `why`.
# `lacks` names the events whose lines may be missing; if it is null, the change is suspect.

def finding($kind; $why; $ranges; $lacks): { kind: $kind, why: $why, ranges: $ranges, lacks: $lacks };

def findings($log):
  . as $change
  | (.ranges // []) as $ranges
  | (if .freed_by == "grants expired" then
       if .margin != null and .margin < $grant_lifetime_ms then
         finding("expiry";
                 "grants expired, but an unanswered grant failed \(.margin | round) ms before "
                 + "(\(.unanswered | connection_text))";
                 $ranges; null)
       elif may_lack($log; "grant_failed"; $grant_lifetime_ms) then
         finding("expiry"; ""; $ranges; "grant_failed")
       else empty end
     elif .freed_by == "release" and (.unreleased | length > 0) then
       finding("release"; "release, but no answered release of these keys in the log"; .unreleased;
               if may_lack($log; "release"; $evidence_ms) then "release" else null end)
     elif .freed_by == "process ended" and (.has_process_end | not) then
       finding("process end"; "process ended, but no status 421 in the log"; $ranges;
               if may_lack($log; "grant_failed"; $evidence_ms) or may_lack($log; "release"; $evidence_ms)
               then "grant_failed or release" else null end)
     else empty end),
    (if .later_epoch then
       finding("epoch";
               "epoch \(.epoch), but \(.later_epoch.vm) changed owners with epoch \(.later_epoch.epoch) "
               + "\($change.t - .later_epoch.t | round) ms before";
               $ranges; null)
     else empty end);

# The report.

def change_text($ranges):
  "\(.t | seconds) \(.vm): "
  + (if ($ranges | length) == 0 then "keys not named"
     else $ranges[0] as $first
       | "keys \($first | keys_text)"
         + (if ($ranges | length) > 1 then " (1 of \($ranges | length) ranges)" else "" end)
         + ", \(.previous) token \($first[2]) -> \($first[4]) token \($first[3])" end);

def count: (.ranges // [] | length) + (.more_ranges // 0);

def table:
  ["freed by", "last grant", "changes",
   "shortest after any failed grant, ms", "shortest after an unanswered grant, ms"],
  (group_by([.freed_by, .last_grant // "unknown"])[]
   | [.[0].freed_by, .[0].last_grant // "unknown", (map(count) | add),
      (map(.failed_margin | values) | min | optional_ms), (map(.margin | values) | min | optional_ms)])
  | @tsv;

def margin_text($log):
  . as $change
  | "\(change_text(.ranges // [])); \(.freed_by); last grant \(.last_grant // "unknown")",
    "  last failed grant: \(.failed | grant_text($change.t))",
    "  last unanswered grant: \(.unanswered | grant_text($change.t))",
    "  last release: \(.release | release_text($change.t))",
    (overlapping_terms($log)[]
     | "  another coordinator: \(.vm), epoch \(.epoch), \($change.t - .began | round) ms before until "
       + (if .ended == null then "unknown" elif .ended > $change.t then "after the change"
          else "\($change.t - .ended | round) ms before" end));

def term_text($changes):
  . as $term
  | ($changes | map(select(.vm == $term.vm and .epoch == $term.epoch and .clock == $term.clock))) as $own
  | "\(.vm), epoch \(.epoch): \(.began | seconds) to \(if .ended then .ended | seconds else "unknown" end), "
    + (if ($own | length) == 0 then "no changes"
       else "changes from \($own[0].t | seconds) to \($own[-1].t | seconds)" end);

def missing_text:
  group_by([.kind, .lacks])[]
  | "Not checked for lack of \(.[0].lacks) lines (\(.[0].kind)): \(map(.ranges | length) | add) changes";

[inputs] | sort_by(.t) as $events
| ($events | map(select(.event == "owner_changed"))) as $changed
| if ($changed | length) == 0 then empty else
  ($events | map(select(.event == "start")) | grouped_by(.vm)) as $starts
  | { servers: ($events | map(select((.event == "grant_failed" or .event == "release") and .server != null))
                | grouped_by(.server)),
      first: ($events | grouped_by(.vm) | map_values(.[0].t)),
      gaps: ($events | grouped_by("\(.vm) \(.event)") | map_values(gaps($starts[.[0].vm] // []))),
      terms: ($events | terms) } as $log
  | ($changed | map(with_evidence($log)) | with_interleaving) as $changes
  | ($changes | map(. as $change | findings($log) | .change = $change)) as $findings
  | "Changes of owner: \($changes | map(count) | add) in \($changes | length) lines",
    ($changes | table),
    "",
    "Coordinators:",
    ($log.terms[] | term_text($changes)),
    "",
    "Smallest margins:",
    ($changes | map(select(.failed)) | sort_by([.margin // infinite, .failed_margin]) | .[:$smallest_margins]
     | if length == 0 then "none: no failed grants before the changes" else .[] | margin_text($log) end),
    "",
    ($events | map(select((.dropped // 0) > 0)) | group_by(.event)[]
     | "Lines left out over the limit of \($max_lines_per_second) a second: \(.[0].event) \(map(.dropped) | add)"),
    ($changes | map(.more_ranges // 0) | add | select(. > 0) | "Ranges not named in the lines, and not checked: \(.)"),
    (if ($changes | map(.vm) | unique | length) > 1 and ($changes | any(.[]; .clock != ""))
     then "Order of the epochs not checked: the lines have no common time" else empty end),
    ($findings | map(select(.lacks != null)) | missing_text),
    ($findings[] | select(.lacks == null) | . as $finding
     | "SUSPECT \($finding.change | change_text($finding.ranges)): \($finding.why)")
  end
