/// \file
/// Errors in external input, such as messages of the discovery agent.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace indigorill {

/// Malformed input. `what()` is one line that names the message, the field and the cause.
class ParseError : public std::runtime_error {
 public:
  /// `message` is the complete description; the object and the field are unknown.
  explicit ParseError(const std::string& message) : std::runtime_error(message), cause_(message) {}

  /// `object_path` names the object, as in "list.instances"; `field` is empty if the error concerns the
  /// object as a whole.
  ParseError(std::string object_path, std::string field, std::string cause)
      : std::runtime_error(object_path + ": " + (field.empty() ? "" : "field " + field + " ") + cause),
        object_path_(std::move(object_path)),
        field_(std::move(field)),
        cause_(std::move(cause)) {}

  const std::string& object_path() const { return object_path_; }
  const std::string& field() const { return field_; }
  const std::string& cause() const { return cause_; }

 private:
  std::string object_path_;
  std::string field_;
  std::string cause_;
};

}  // namespace indigorill
