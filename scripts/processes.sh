#!/usr/bin/env bash
# Runs eight nodes as separate processes against a platform stand-in, and kills,
# suspends and restarts them while a caller sends requests and operators submit
# changes. Prints the results; takes about a minute and a half.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
declare -A pid
cleanup() {
  for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -9 "$p" 2>/dev/null || true; done
  rm -r "$dir"
}
trap cleanup EXIT
go build -o "$dir/agatekeel" ./cmd/agatekeel
go build -o "$dir/standin" ./internal/standin
: > "$dir/nodes"
"$dir/standin" -dir "$dir" > "$dir/nodes" &
pids+=($!)
export AGATEKEEL_PLATFORM=http://127.0.0.1:8082
until [ "$(wc -l < "$dir/nodes")" = 8 ]; do sleep 0.1; done

start() { # start NODE: in the background, with its log appended to log-NODE
  "$dir/agatekeel" node --settings "$dir/$1.json" 2>> "$dir/log-$1" &
  pid[$1]=$!
  pids+=($!)
}
while read -r name _; do start "$name"; done < "$dir/nodes"
# address NODE FIELD: prints the callers' address (2) or the admin address (3) of a node
address() { awk -v n="$1" -v f="$2" '$1 == n {print $f}' "$dir/nodes"; }

change() { # change NUMBER: submits a new route and waits for the result
  printf '{"kind":"Route","name":"trial-%s","spec":{"pathPrefix":"/trial-%s","service":"recipe-book"}}' "$1" "$1" > "$dir/change.json"
  "$dir/agatekeel" apply --wait "$dir/change.json" 2>&1 | tr '\n' ' '
  echo
}

# calls COUNT NODE: sends requests one after the other and prints the number of
# responses by status
calls() {
  for _ in $(seq "$1"); do
    curl -s -o /dev/null -m 6 -w '%{http_code}\n' "http://$(address "$2" 2)/recipe-book/recipes/1" || true
  done | sort | uniq -c | tr '\n' ' '
  echo
}
role() { # role NODE: prints the phase of a node and whether it is the publisher
  curl -s -m 2 "http://$(address "$1" 3)/debug/state" | grep -oE '"(phase|publisher)": *("[a-z]+"|true|false)' | tr '\n' ' '
}
publisher() { # prints the name of the node that is the publisher
  while read -r name _; do
    if [ -n "${pid[$name]:-}" ] && kill -0 "${pid[$name]}" 2>/dev/null; then
      case "$(role "$name")" in *'"publisher": true'*) echo "$name"; return ;; esac
    fi
  done < "$dir/nodes"
}

echo "== apply the examples"
"$dir/agatekeel" apply --wait examples/recipes 2>&1 | tr '\n' ' ' 
echo
sleep 1
entry=scaler-leicester
echo "== send 200 calls to $entry"
calls 200 "$entry"

victim=$(publisher)
echo "== kill -9 of $victim, a root and the publisher, during calls and a change"
kill -9 "${pid[$victim]}"
wait "${pid[$victim]}" 2>/dev/null || true
calls 200 "$entry" & calls_job=$!
change 1
wait "$calls_job"

echo "== restart $victim"
start "$victim"
sleep 3
change 2

victim=$(publisher)
echo "== suspend $victim, now the publisher, for 12 s during a change, then resume it"
kill -STOP "${pid[$victim]}"
( sleep 12; kill -CONT "${pid[$victim]}" ) & resume_job=$!
change 3
wait "$resume_job"
sleep 4
change 4

echo "== kill all nodes at once and restart them"
while read -r name _; do kill -9 "${pid[$name]}"; done < "$dir/nodes"
while read -r name _; do start "$name"; done < "$dir/nodes"
change 5
sleep 1
calls 100 "$entry"

echo "== stop each node but $entry by SIGTERM and restart it, one by one, during calls"
calls 1500 "$entry" & calls_job=$!
while read -r name _; do
  [ "$name" = "$entry" ] && continue
  kill -TERM "${pid[$name]}"
  wait "${pid[$name]}" 2>/dev/null || true
  start "$name"
  sleep 1
done < "$dir/nodes"
wait "$calls_job"

echo "== configuration version of each node"
while read -r name _ admin; do
  echo "$name $(curl -s -m 2 "http://$admin/debug/state" | grep -oE '"configVersion": *[0-9]+' | head -1)"
done < "$dir/nodes"
