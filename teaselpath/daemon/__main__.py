"""Run the daemon as ``python -m teaselpath.daemon``."""

from teaselpath.daemon import main

main()
