"""Run egretd as the baseline does: each daemon watches the platform and none pulls from peers."""

from egretworks import delivery, egretd
from egretworks.controllers import CONTROLLERS_BY_NAME

delivery.WATCHERS_PER_DATA_CENTRE = 1_000_000
del CONTROLLERS_BY_NAME["pull"]
egretd.main()
