#!/bin/sh
# See claim.txt. With TROUBLE=0 no event begins with a line break.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" LineBreakCase "$here"
