#!/bin/sh
# Builds the stand-ins of the review's scripts (servers, clients, operator, proxy of delays). Needs only the JDK.
# To be run after the build command of deploy/system.toml, from any folder.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -Xlint:-serial -encoding UTF-8 -d target/review review/src/review/*.java
