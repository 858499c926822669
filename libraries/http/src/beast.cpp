// The one unit that holds Boost.Beast's own code.
#include <boost/beast/src.hpp>
