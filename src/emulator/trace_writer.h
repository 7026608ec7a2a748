/// \file
/// Writes the trace of a run as JSON lines.
#pragma once

#include <ostream>

#include "emulator/trace.h"

namespace indigorill::emulator {

class TraceWriter : public TraceListener {
 public:
  /// `output` must outlive the writer.
  explicit TraceWriter(std::ostream& output) : output_(output) {}
  void on_event(const TraceEvent& event) override;

 private:
  std::ostream& output_;
};

}  // namespace indigorill::emulator
