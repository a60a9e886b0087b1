"""Run a command whose connections can be cut: ``python -m ... SOURCE FILE COMMAND``.

See `features.builders.platform.linkedhost` for the first two arguments.
"""

import sys
from pathlib import Path

from features.builders.platform.linkedhost import redirect_connections
from mangogauge.commands import main

if __name__ == "__main__":
    redirect_connections(sys.argv[1], Path(sys.argv[2]))
    sys.argv[1:] = sys.argv[3:]
    main()
