/// \file
/// Exhaustive breadth-first exploration of a model's states within given bounds.
#pragma once

#include <cstddef>
#include <functional>
#include <queue>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace indigorill {

struct Exploration {
  std::size_t state_count = 0;
  std::vector<std::string> trace;  ///< steps to a forbidden state; empty if none was reached

  /// The trace, with one step per line.
  std::string trace_text() const {
    std::string text;
    for (const std::string& step : trace) text.append("\n    ").append(step);
    return text;
  }
};

/// A model has a type `State` and three functions: `key(state)` returns a text that is equal for states that
/// behave alike; `is_forbidden(state)`; and `expand(state, reach)` calls `reach(next, step)` for each next
/// state, with the name of the step that leads to it. The exploration ends at the first forbidden state.
template <class Model>
class StateExplorer {
 public:
  using State = typename Model::State;

  explicit StateExplorer(const Model& model) : model_(model) {}

  Exploration run(State first) {
    seen_.insert(model_.key(first));
    steps_.push_back({0, ""});
    queue_.emplace(0, std::move(first));
    while (!queue_.empty() && !found_forbidden_) {
      const auto [id, state] = std::move(queue_.front());
      queue_.pop();
      model_.expand(state, [this, parent = id](State next, const std::string& step) {
        reach(parent, std::move(next), step);
      });
    }
    return {.state_count = steps_.size(), .trace = trace_to_last()};
  }

 private:
  struct Step {
    std::size_t parent;
    std::string name;
  };

  void reach(std::size_t parent, State next, const std::string& step) {
    if (found_forbidden_ || !seen_.insert(model_.key(next)).second) return;
    steps_.push_back({parent, step});
    found_forbidden_ = model_.is_forbidden(next);
    if (!found_forbidden_) queue_.emplace(steps_.size() - 1, std::move(next));
  }

  std::vector<std::string> trace_to_last() const {
    std::vector<std::string> trace;
    if (!found_forbidden_) return trace;
    for (std::size_t id = steps_.size() - 1; id != 0; id = steps_[id].parent)
      trace.insert(trace.begin(), steps_[id].name);
    return trace;
  }

  const Model& model_;
  std::vector<Step> steps_;  // step that led to each state, by state; the first state has none
  std::unordered_set<std::string> seen_;
  std::queue<std::pair<std::size_t, State>> queue_;
  bool found_forbidden_ = false;
};

}  // namespace indigorill
