#pragma once

#include <boost/outcome.hpp>

namespace lugfork {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** Value or typed error. Each layer defines its own error type. */
template <typename Value, typename Error>
using Result = outcome::unchecked<Value, Error>;

}  // namespace lugfork
