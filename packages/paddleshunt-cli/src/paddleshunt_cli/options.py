"""Options that several commands share; each can also be set in the environment."""

import click

store_option = click.option(
    "--store",
    envvar="PADDLESHUNT_STORE",
    required=True,
    help="URL of the platform's key-value service.",
)

entries_option = click.option(
    "--entry",
    "entries",
    envvar="PADDLESHUNT_ENTRIES",
    multiple=True,
    help="URL of an entry; may be given several times (in the environment, split by spaces).",
)
