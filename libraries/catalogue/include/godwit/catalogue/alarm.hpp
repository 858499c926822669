#pragma once

// FIXME: the old name of this header; remove when the agent includes the
// new one.
#include <godwit/catalogue/catalogue_alarm.hpp>
