#!/bin/sh
# The store's answer to the write of a job is lost, and the write is carried out 6 s later. TROUBLE=0: it
# isn't lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/geraniumlatchd ] && [ -x target/review/standin ] || exit 2
# On a signal, the stand-in's daemons are ended with it.
target/review/standin late-job review/4 &
pid=$!
trap 'for child in $(cat /proc/$pid/task/*/children); do kill -9 "$child"; done; kill -9 $pid; exit 2' INT TERM HUP
wait $pid
