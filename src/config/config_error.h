/// \file
/// Errors in the configuration: files, the environment, and the command line.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace indigorill {

/// One problem in the configuration.
struct ConfigProblem {
  std::string file;   ///< empty if the value may have another source, such as an environment variable
  unsigned line = 0;  ///< 0 if unknown
  std::string field;  ///< dotted path of the setting; empty if the problem concerns the whole file
  std::string cause;  ///< continues a sentence that starts with `field`

  /// One line of text: "file:line: field cause".
  std::string to_string() const {
    std::string text = file;
    if (line > 0) text.append(":").append(std::to_string(line));
    if (!text.empty()) text.append(": ");
    if (!field.empty()) text.append(field).append(" ");
    return text.append(cause);
  }
};

/// Thrown when the configuration can't be used. `what()` has a line for each problem.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(std::vector<ConfigProblem> problems)
      : std::runtime_error(join_lines(problems)), problems_(std::move(problems)) {}

  explicit ConfigError(ConfigProblem problem) : ConfigError(std::vector{std::move(problem)}) {}

  /// A single problem that `cause` describes in full.
  explicit ConfigError(std::string cause)
      : ConfigError(ConfigProblem{.file = {}, .field = {}, .cause = std::move(cause)}) {}

  const std::vector<ConfigProblem>& problems() const { return problems_; }

 private:
  static std::string join_lines(const std::vector<ConfigProblem>& problems) {
    std::string text;
    for (const ConfigProblem& problem : problems) {
      if (!text.empty()) text += "\n";
      text += problem.to_string();
    }
    return text;
  }

  std::vector<ConfigProblem> problems_;
};

}  // namespace indigorill
