#!/bin/sh
# The store's answer to the write of a job is lost, and the write is carried out 6 s later. TROUBLE=0: it
# isn't lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/geraniumlatchd ] && [ -x target/review/standin ] || exit 2
exec target/review/standin late-job review/4
