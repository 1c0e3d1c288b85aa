"""Run the daemon as ``python -m teaselpath.daemon``."""

from teaselpath.daemon._main import main

main()
