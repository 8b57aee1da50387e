#!/bin/sh
# Runs this case; see claim.txt. Needs the build command of deploy/system.toml and review/build-2.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -f "$root/target/quartzspan.jar" ] || [ ! -f "$root/target/review-2/review2/LimitsCase.class" ]; then
    echo "build first: the build command of deploy/system.toml, then review/build-2.sh"
    exit 2
fi
cd "$root" || exit 2
exec java -cp target/review-2 review2.LimitsCase "$root" "$folder"
