// Result.h: LEAF results whose error object is a Failure.
#ifndef caraway_Result_h
#define caraway_Result_h

#include <boost/leaf.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "caraway/Failure.h"

namespace caraway {

namespace leaf = boost::leaf;

template<class T>
using Result = leaf::result<T>;

// Returns an error of aKind with the retry time and run state of its row in the
// table.
inline leaf::error_id
Fail(ErrorKind aKind, std::string aDetail)
{
  return leaf::new_error(FailureOf(aKind, std::move(aDetail)));
}

inline leaf::error_id
Fail(Failure aFailure)
{
  return leaf::new_error(std::move(aFailure));
}

// Calls aTry, which returns a Result<T>, and returns its value or its Failure.
// LEAF loads error objects only inside a handling scope; this is such a scope,
// for callers that handle the failure as a value.
template<class Try>
auto
Outcome(Try&& aTry)
  -> std::variant<std::decay_t<decltype(aTry().value())>, Failure>
{
  using Value = std::decay_t<decltype(aTry().value())>;
  using Either = std::variant<Value, Failure>;
  return leaf::try_handle_all(
    [&]() -> Result<Either> {
      auto result = aTry();
      if (!result) {
        return result.error();
      }
      return Either(std::move(result.value()));
    },
    [](const Failure& aFailure) { return Either(aFailure); },
    [] { return Either(FailureOf(ErrorKind::Internal, "unknown error")); });
}

// The same for a callable that returns Result<void>: its Failure, if any.
template<class Try>
std::optional<Failure>
FailureIn(Try&& aTry)
{
  auto outcome = Outcome([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(aTry());
    return true;
  });
  auto* failure = std::get_if<Failure>(&outcome);
  return failure ? std::optional<Failure>(std::move(*failure)) : std::nullopt;
}

} // namespace caraway

#endif
