"""Run egretd as an older build would be: without the policy `two_choices`."""

from egretworks import egretd
from egretworks.balancing import BALANCERS_BY_NAME

del BALANCERS_BY_NAME["two_choices"]
egretd.main()
