#!/bin/sh
# The store is down while more than 500 tasks end on each worker. TROUBLE=0: it isn't.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/geraniumlatchd ] && [ -x target/review/standin ] || exit 2
exec target/review/standin unlisted-ends review/3
