#!/bin/sh
# All daemons lose power while a job of many tasks with checkpoints runs. TROUBLE=0: they don't.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/geraniumlatchd ] && [ -x target/review/standin ] || exit 2
# On a signal, the stand-in's daemons are ended with it.
target/review/standin long-row review/1 &
pid=$!
trap 'for child in $(cat /proc/$pid/task/*/children); do kill -9 "$child"; done; kill -9 $pid; exit 2' INT TERM HUP
wait $pid
