#!/bin/sh
# The store is down while more than 500 tasks end on each worker. TROUBLE=0: it isn't.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/geraniumlatchd ] && [ -x target/review/standin ] || exit 2
# On a signal, the stand-in's daemons are ended with it.
target/review/standin unlisted-ends review/3 &
pid=$!
trap 'for child in $(cat /proc/$pid/task/*/children); do kill -9 "$child"; done; kill -9 $pid; exit 2' INT TERM HUP
wait $pid
