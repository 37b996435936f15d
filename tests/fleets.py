"""Make the rows of fleets of many daemons."""

from egretworks.rows import DaemonRow, TargetRow

# Of every 39 targets, 21 are of the first service, 13 of the second and 5 of the third.
SERVICE_SHARES = (("portal", 21), ("desk", 13), ("ledger", 5))
SERVICE_BY_PLACE = [service for service, count in SERVICE_SHARES for _ in range(count)]


def make_fleet(daemons, data_centres, serving=lambda number: True):
    """Return the rows of `daemons`, spread over data centres; `serving` gets each one's number."""
    return [
        DaemonRow(
            f"d{number:05}",
            f"dc{number % data_centres}",
            "10.0.0.1",
            7_600,
            incarnation=1_000,
            serial=1,
            target=TargetRow(f"i{number}", 1, service_of(number), 9, serving(number)),
        )
        for number in range(daemons)
    ]


def service_of(number):
    """Return the service of target `number`; each data centre gets some of each."""
    return SERVICE_BY_PLACE[(number * 17 // 5) % len(SERVICE_BY_PLACE)]
