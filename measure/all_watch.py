"""Run egretd as the baseline: every daemon watches the platform and none pulls from its peers."""

from egretworks import delivery, egretd
from egretworks.controllers import CONTROLLERS_BY_NAME

# With a limit above the number of daemons, each of them is a watcher.
delivery.WATCHERS_PER_DATA_CENTRE = 1_000_000
del CONTROLLERS_BY_NAME["pull"]
egretd.main()
