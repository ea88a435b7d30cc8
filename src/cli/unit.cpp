#include "core/version.h"
