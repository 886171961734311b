"""The catalogue: entries, classes, customers, limits and their versions."""

from . import model
from . import parsing
from . import schema

Catalogue = model.Catalogue
CatalogueInvalid = schema.CatalogueInvalid
EMPTY = model.EMPTY
Parser = parsing.Parser
filled_in = parsing.filled_in
parse = parsing.parse
