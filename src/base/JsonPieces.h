// JsonPieces.h: cuts the text of a JSON object or array into the texts of its
// members, so that one of them that can't be parsed doesn't hide the others.
#ifndef caraway_base_JsonPieces_h
#define caraway_base_JsonPieces_h

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

// The texts of an array's elements; none if aText doesn't begin and end as an
// array does. Nesting of any depth is passed over without recursion.
std::vector<std::string_view>
JsonElements(std::string_view aText);

// The texts of an object's members by their names, which are taken as they are
// written. Of members of one name the first.
std::map<std::string, std::string_view, std::less<>>
JsonMembers(std::string_view aText);

} // namespace caraway

#endif
