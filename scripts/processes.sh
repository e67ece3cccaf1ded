#!/usr/bin/env bash
# Runs eight nodes as processes of their own against a platform stand-in, and
# kills and freezes them while a caller's requests and operators' changes go
# on. Prints what was seen; takes about a minute and a half.
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

start() {
  "$dir/agatekeel" node --settings "$dir/$1.json" 2>> "$dir/log-$1" &
  pid[$1]=$!
  pids+=($!)
}
while read -r name _; do start "$name"; done < "$dir/nodes"
address() { awk -v n="$1" -v f="$2" '$1 == n {print $f}' "$dir/nodes"; }

change() { # change NUMBER: a new route, waited for
  printf '{"kind":"Route","name":"trial-%s","spec":{"pathPrefix":"/trial-%s","service":"recipe-book"}}' "$1" "$1" > "$dir/change.json"
  "$dir/agatekeel" apply --wait "$dir/change.json" 2>&1 | tr '\n' ' '
  echo
}

# calls COUNT NODE: one request after another; counts the answers by status.
calls() {
  for _ in $(seq "$1"); do
    curl -s -o /dev/null -m 6 -w '%{http_code}\n' "http://$(address "$2" 2)/recipe-book/recipes/1" || true
  done | sort | uniq -c | tr '\n' ' '
  echo
}
role() { # role NODE: phase and whether it publishes
  curl -s -m 2 "http://$(address "$1" 3)/debug/state" | grep -oE '"(phase|publisher)": *("[a-z]+"|true|false)' | tr '\n' ' '
}
publisher() {
  while read -r name _; do
    if [ -n "${pid[$name]:-}" ] && kill -0 "${pid[$name]}" 2>/dev/null; then
      case "$(role "$name")" in *'"publisher": true'*) echo "$name"; return ;; esac
    fi
  done < "$dir/nodes"
}

echo "== examples applied"
"$dir/agatekeel" apply --wait examples/recipes 2>&1 | tr '\n' ' ' 
echo
sleep 1
entry=scaler-leicester
echo "== 200 calls at $entry"
calls 200 "$entry"

victim=$(publisher)
echo "== kill -9 of $victim, a root and the publisher, while calls and a change go on"
kill -9 "${pid[$victim]}"
wait "${pid[$victim]}" 2>/dev/null || true
calls 200 "$entry" & calls_job=$!
change 1
wait "$calls_job"

echo "== $victim starts again"
start "$victim"
sleep 3
change 2

victim=$(publisher)
echo "== $victim, now the publisher, is frozen for 12 s while a change goes on, then wakes"
kill -STOP "${pid[$victim]}"
( sleep 12; kill -CONT "${pid[$victim]}" ) & resume_job=$!
change 3
wait "$resume_job"
sleep 4
change 4

echo "== all nodes are killed at once and start again"
while read -r name _; do kill -9 "${pid[$name]}"; done < "$dir/nodes"
while read -r name _; do start "$name"; done < "$dir/nodes"
change 5
sleep 1
calls 100 "$entry"

echo "== each node is stopped by SIGTERM and started again while calls go on"
calls 1500 "$entry" & calls_job=$!
while read -r name _; do
  [ "$name" = "$entry" ] && continue
  kill -TERM "${pid[$name]}"
  wait "${pid[$name]}" 2>/dev/null || true
  start "$name"
  sleep 1
done < "$dir/nodes"
wait "$calls_job"

echo "== versions held"
while read -r name _ admin; do
  echo "$name $(curl -s -m 2 "http://$admin/debug/state" | grep -oE '"configVersion": *[0-9]+' | head -1)"
done < "$dir/nodes"
