// The parts of Asio and Beast that are not templates, compiled once instead of in every file that
// includes them; see BOOST_ASIO_SEPARATE_COMPILATION in CMakeLists.txt.

#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
