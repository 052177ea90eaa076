#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" crashing-minions "$here"
