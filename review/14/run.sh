#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review exec target/venv/bin/python review/14/case.py
