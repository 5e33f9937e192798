"""Platform process: runs a process of the platform with a settings file."""

import os
import sys

from medlarhoist.platform.__main__ import main
from medlarhoist.platform.settings import SETTINGS_VARIABLE

if __name__ == '__main__':
    os.environ[SETTINGS_VARIABLE] = sys.argv[1]
    sys.exit(main())
