#!/bin/sh
exec sh "$(dirname "$0")/../stand-ins-2/play.sh" 10
