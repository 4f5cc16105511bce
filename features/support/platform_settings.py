"""Settings of a program on the platform, as small as they may be."""

SECTIONS = (
    ("host", {"name": "h", "data_centre": "z1", "ip": "127.0.0.1"}),
    ("listen", {"first_peer_port": 7600}),
    ("group", {}),
    ("storage", {}),
    ("upstream_list", {"address": "127.0.0.1:1"}),
    ("retries", {}),
    ("allowances", {}),
    ("rollouts", {}),
    ("shutdown", {}),
)


def platform_settings(**sections):
    """Return the text of the settings.

    :param sections: values that are added or replaced, by section and key.
    """
    lines = []
    for name, values in SECTIONS:
        lines.append(f"[{name}]")
        for key, value in {**values, **sections.get(name, {})}.items():
            lines.append(f"{key} = {value}")
    return "\n".join(lines) + "\n"
