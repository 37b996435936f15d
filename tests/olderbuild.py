"""Run egretd without the balancing policy `two_choices`, as a build that predates the policy."""

from egretworks import egretd
from egretworks.balancing import BALANCERS_BY_NAME

del BALANCERS_BY_NAME["two_choices"]
egretd.main()
