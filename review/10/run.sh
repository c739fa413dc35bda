#!/bin/sh
# See claim.txt. With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" CrashedItemCase "$here"
