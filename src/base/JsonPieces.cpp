#include "base/JsonPieces.h"

namespace caraway {

namespace {

std::string_view
Trimmed(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t\r\n";
  size_t first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

// The position after the string that begins at aAt.
size_t
AfterString(std::string_view aText, size_t aAt)
{
  for (size_t at = aAt + 1; at < aText.size(); ++at) {
    if (aText[at] == '\\') {
      ++at;
    } else if (aText[at] == '"') {
      return at + 1;
    }
  }
  return aText.size();
}

// What stands between the outer brackets of aText, cut at the commas between.
std::vector<std::string_view>
Pieces(std::string_view aText, char aOpen, char aClose)
{
  aText = Trimmed(aText);
  if (aText.size() < 2 || aText.front() != aOpen || aText.back() != aClose) {
    return {};
  }
  aText = aText.substr(1, aText.size() - 2);
  std::vector<std::string_view> pieces;
  size_t begin = 0;
  size_t depth = 0;
  for (size_t at = 0; at < aText.size();) {
    char c = aText[at];
    if (c == '"') {
      at = AfterString(aText, at);
      continue;
    }
    depth += c == '{' || c == '[' ? 1 : 0;
    if (c == '}' || c == ']') {
      depth -= depth > 0 ? 1 : 0;
    } else if (c == ',' && depth == 0) {
      pieces.push_back(Trimmed(aText.substr(begin, at - begin)));
      begin = at + 1;
    }
    ++at;
  }
  std::string_view last = Trimmed(aText.substr(begin));
  if (!last.empty() || !pieces.empty()) {
    pieces.push_back(last);
  }
  return pieces;
}

} // namespace

std::vector<std::string_view>
JsonElements(std::string_view aText)
{
  return Pieces(aText, '[', ']');
}

std::map<std::string, std::string_view, std::less<>>
JsonMembers(std::string_view aText)
{
  std::map<std::string, std::string_view, std::less<>> members;
  for (std::string_view piece : Pieces(aText, '{', '}')) {
    size_t end =
      piece.empty() || piece.front() != '"' ? 0 : AfterString(piece, 0);
    std::string_view rest = Trimmed(piece.substr(end));
    if (end >= 2 && !rest.empty() && rest.front() == ':') {
      members.emplace(piece.substr(1, end - 2), Trimmed(rest.substr(1)));
    }
  }
  return members;
}

} // namespace caraway
