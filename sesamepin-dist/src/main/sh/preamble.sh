#!/bin/sh
exec java -XX:+ExitOnOutOfMemoryError ${SESAMEPIN_JAVA_OPTS:--Xss512k -XX:+UseSerialGC} -cp "$0" org.sesamepin.cli.Main "$@"
