#!/bin/sh
exec java ${SESAMEPIN_JAVA_OPTS:--Xss512k -XX:+UseSerialGC} -cp "$0" org.sesamepin.cli.Main "$@"
