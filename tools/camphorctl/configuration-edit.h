#ifndef CAMPHORWIND_TOOLS_CAMPHORCTL_CONFIGURATION_EDIT_H
#define CAMPHORWIND_TOOLS_CAMPHORCTL_CONFIGURATION_EDIT_H

#include "camphorwind/base/result.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace camphorwind::ctl {

/// Why a text could not be edited.
enum class EditError {
  NoSuchSection, ///< The outermost object has no such member.
  NotAnObject,   ///< The member is not an object.
};

/// Adds the member \p Name with the JSON text \p Value to the object \p Section
/// of a JSON text with comments. Everything else stays byte for byte.
base::Result<std::string, EditError> addMember(std::string_view Text,
                                               std::string_view Section,
                                               std::string_view Name,
                                               std::string_view Value);

/// The same for an object below others: \p Path names the members to follow.
base::Result<std::string, EditError>
addMemberAt(std::string_view Text, std::initializer_list<std::string_view> Path,
            std::string_view Name, std::string_view Value);

} // namespace camphorwind::ctl

#endif // CAMPHORWIND_TOOLS_CAMPHORCTL_CONFIGURATION_EDIT_H
