#!/bin/sh
# Builds every stand-in and script of the second review's cases. Needs only the JDK.
# To be run after the build command of deploy/system.toml, from any folder.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Xlint:-serial -encoding UTF-8 -d target/review-2 review/src-2/review2/*.java
