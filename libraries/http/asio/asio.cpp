// The one unit that holds Boost.Asio's own code.
#include <boost/asio/impl/src.hpp>
