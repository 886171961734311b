"""The catalogue: entries, service classes, customers and limits.

Operators edit it as a JSON document; every edit makes a new version.
"""

from . import model
from . import parsing
from . import schema

Catalogue = model.Catalogue
CatalogueInvalid = schema.CatalogueInvalid
EMPTY = model.EMPTY
Parser = parsing.Parser
filled_in = parsing.filled_in
parse = parsing.parse
