#pragma once

// Destructors of nested values recurse; the bound keeps a hostile file from exhausting the stack.
#define TOML_MAX_NESTED_VALUES 16
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>
