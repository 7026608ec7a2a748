#include "experiment.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <exception>
#include <mutex>
#include <optional>
#include <thread>

namespace indigorill::lab {

std::vector<figures> play_all(const std::vector<one_run>& plan, unsigned threads) {
  std::vector<figures> all(plan.size());
  std::atomic<std::size_t> next{0};
  std::mutex guard;
  std::exception_ptr wrong;
  const auto work = [&] {
    for (std::size_t i = next++; i < plan.size(); i = next++) try {
        all[i] = play(plan[i].plays, plan[i].by, plan[i].seed);
      } catch (...) {
        const std::lock_guard<std::mutex> hold(guard);
        wrong = std::current_exception();
      }
  };
  std::vector<std::thread> hands;
  for (unsigned i = 1; i < std::min<std::size_t>(std::max(threads, 1u), plan.size()); ++i)
    hands.emplace_back(work);
  work();
  for (std::thread& t : hands) t.join();
  if (wrong) std::rethrow_exception(wrong);
  return all;
}

const std::vector<measure>& measures() {
  const auto share = [](std::uint64_t figures::*of) {
    return [of](const figures& f) {
      return f.arrived ? static_cast<double>(f.*of) / static_cast<double>(f.arrived) : 0;
    };
  };
  const auto whole = [](std::uint64_t figures::*of) {
    return [of](const figures& f) { return static_cast<double>(f.*of); };
  };
  const auto quantile = [](double q) { return [q](const figures& f) { return f.answered.quantile(q); }; };
  static const std::vector<measure> all{
      {"utility", [](const figures& f) { return f.utility(); }},
      {"mean_ms", [](const figures& f) { return f.answered.mean(); }},
      {"p50_ms", quantile(0.5), 0.5},
      {"p99_ms", quantile(0.99), 0.99},
      {"p99.9_ms", quantile(0.999), 0.999},
      {"ok", share(&figures::ok)},
      {"late", share(&figures::late)},
      {"pushed_back", share(&figures::pushed_back)},
      {"aborted", share(&figures::aborted)},
      {"unanswered", share(&figures::unanswered)},
      {"lost", share(&figures::lost)},
      {"picks", share(&figures::picks)},
      {"handshakes", share(&figures::handshakes)},
      {"probes", share(&figures::probes)},
      {"connect_failed", share(&figures::connect_failed)},
      {"timed_out", share(&figures::timed_out)},
      {"full", share(&figures::full)},
      {"errors", share(&figures::errors)},
      {"list_calls", whole(&figures::list_calls)},
      {"list_refusals", whole(&figures::list_refusals)},
      {"all_told_ms", [](const figures& f) { return f.all_told; }},
      {"most_connections", whole(&figures::most_connections)},
      {"most_handshakes", whole(&figures::most_handshakes)},
      {"most_probes", whole(&figures::most_probes)},
      {"most_list_calls", whole(&figures::most_list_calls)},
      {"denied", share(&figures::denied)},
      {"worst_cold", [](const figures& f) { return f.worst_cold; }},
      {"falls", whole(&figures::falls)},
      {"breaches", whole(&figures::breached)},
  };
  return all;
}

namespace {

double decimal(const std::string& text, const std::string& of) {
  double v = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (text.empty() || fault != std::errc() || end != text.data() + text.size() || !std::isfinite(v))
    throw faulty(of + ": '" + text + "' is not a number");
  return v;
}

std::vector<std::string> split(const std::string& text, char at) {
  std::vector<std::string> parts;
  std::size_t from = 0;
  for (std::size_t to; (to = text.find(at, from)) != std::string::npos; from = to + 1)
    parts.push_back(text.substr(from, to - from));
  parts.push_back(text.substr(from));
  return parts;
}

std::pair<std::string, std::string> at_equals(const std::string& text) {
  const std::size_t at = text.find('=');
  if (at == std::string::npos || at == 0) throw faulty(text + ": no name=value");
  return {text.substr(0, at), text.substr(at + 1)};
}

}  // namespace

std::pair<std::string, double> parse_setting(const std::string& text) {
  const auto [path, value] = at_equals(text);
  return {path, decimal(value, text)};
}

axis parse_axis(const std::string& text) {
  const auto [path, values] = at_equals(text);
  axis a{path, {}};
  const std::vector<std::string> range = split(values, ':');
  if (range.size() == 3) {
    const double from = decimal(range[0], text), to = decimal(range[1], text),
                 steps = decimal(range[2], text);
    constexpr double most = 1000;
    if (steps < 2 || steps > most || steps != std::floor(steps))
      throw faulty(text + ": from:to:count wants 2 to 1000 points");
    for (double i = 0; i < steps; ++i) a.values.push_back(from + (to - from) * i / (steps - 1));
  } else if (range.size() == 1) {
    for (const std::string& v : split(values, ',')) a.values.push_back(decimal(v, text));
  } else {
    throw faulty(text + ": neither a,b,c nor from:to:count");
  }
  return a;
}

std::vector<point> conduct(const experiment& e) {
  std::vector<point> points;
  std::vector<one_run> plan;
  std::vector<std::size_t> at(e.axes.size(), 0);
  for (bool more = true; more;) {
    toml::table here = e.base;
    point p;
    for (std::size_t i = 0; i < at.size(); ++i) {
      p.at.emplace_back(e.axes[i].path, e.axes[i].values[at[i]]);
      set_value(here, e.axes[i].path, e.axes[i].values[at[i]]);
    }
    const scenario s = decode_scenario(here);
    for (const policy by : e.policies) {
      p.by = by;
      p.seeds.clear();
      // The same seeds for all: what clients ask for is then the same, and differences are paired.
      for (std::size_t run = 0; run < e.runs; ++run) {
        p.seeds.push_back((e.first_seed ? e.first_seed : s.seed) + run);
        plan.push_back({s, by, p.seeds.back()});
      }
      points.push_back(p);
    }
    more = false;
    for (std::size_t i = at.size(); i-- > 0;) {
      if (++at[i] < e.axes[i].values.size()) {
        more = true;
        break;
      }
      at[i] = 0;
    }
  }
  const std::vector<figures> all = play_all(plan, e.threads);
  for (std::size_t i = 0; i < points.size(); ++i)
    points[i].runs.assign(all.begin() + static_cast<std::ptrdiff_t>(i * e.runs),
                          all.begin() + static_cast<std::ptrdiff_t>((i + 1) * e.runs));
  return points;
}

namespace {

using setting = std::vector<double>;  // a value for each of the ranges

class searcher {
 public:
  explicit searcher(const hunt& with)
      : h(with), ranges(ranges_of(with.base)), seed(decode_scenario(with.base).seed) {
    for (const range& r : ranges) whole.push_back(is_whole(r));
    base.reserve(ranges.size());
    for (const range& r : ranges) base.push_back(value_at(h.base, r.path));
  }

  found_day run() {
    found_day found;
    stream chance(seed_of(seed, use::shares, 1));
    setting best = base;
    found.loss = losses({table_of(base)}).front().value_or(0);
    // In rounds of a fixed size, so that the number of threads changes nothing. The first half is drawn from
    // the whole of the ranges, the second near the worst so far.
    constexpr std::size_t at_once = 8;
    for (std::size_t tried = 0; tried < h.tries; tried += at_once) {
      std::vector<setting> settings;
      std::vector<toml::table> tables;
      for (std::size_t i = 0; i < std::min(at_once, h.tries - tried); ++i) {
        settings.push_back(tried < h.tries / 2 ? anywhere(chance) : near(best, chance));
        tables.push_back(table_of(settings.back()));
      }
      const auto lost = losses(tables);
      for (std::size_t i = 0; i < lost.size(); ++i)
        if (lost[i] && *lost[i] > found.loss) found.loss = *lost[i], best = settings[i];
    }
    found.worst = table_of(best);
    found.smallest = found.worst;
    found.smallest_loss = found.loss;
    cut_down(found, best);
    found.worst.erase("ranges");
    found.smallest.erase("ranges");
    found.played = played;
    return found;
  }

 private:
  bool is_whole(const range& r) const { return h.base.at_path(r.path).is_integer(); }

  double rounded(std::size_t i, double v) const {
    v = std::clamp(v, ranges[i].least, ranges[i].most);
    return whole[i] ? std::round(v) : v;
  }
  setting anywhere(stream& chance) const {
    setting s;
    for (std::size_t i = 0; i < ranges.size(); ++i) {
      const range& r = ranges[i];
      constexpr double decades = 10;  // a range this wide is drawn by its logarithm
      const bool by_log = r.least > 0 && r.most / r.least > decades;
      const double x = chance.unit();
      s.push_back(
          rounded(i, by_log ? r.least * std::pow(r.most / r.least, x) : r.least + (r.most - r.least) * x));
    }
    return s;
  }
  setting near(setting s, stream& chance) const {
    if (s.empty()) return s;
    constexpr double step = 0.2;  // of the range
    const std::size_t i = chance.below(s.size());
    s[i] = rounded(i, s[i] + (chance.unit() * 2 - 1) * step * (ranges[i].most - ranges[i].least));
    return s;
  }
  toml::table table_of(const setting& s) const {
    toml::table t = h.base;
    for (std::size_t i = 0; i < s.size(); ++i) set_value(t, ranges[i].path, s[i]);
    return t;
  }

  // None where the table is no scenario.
  std::vector<std::optional<double>> losses(const std::vector<toml::table>& tables) {
    std::vector<one_run> plan;
    std::vector<bool> sound;
    for (const toml::table& t : tables) {
      try {
        toml::table alone = t;
        alone.erase("ranges");
        const scenario s = decode_scenario(alone);
        sound.push_back(true);
        for (std::size_t run = 0; run < h.runs; ++run)
          for (const policy by : {policy::module, h.against}) plan.push_back({s, by, seed + run});
      } catch (const faulty&) {
        sound.push_back(false);
      }
    }
    const std::vector<figures> all = play_all(plan, h.threads);
    played += plan.size();
    std::vector<std::optional<double>> lost;
    std::size_t at = 0;
    for (const bool is : sound) {
      if (!is) {
        lost.push_back({});
        continue;
      }
      double sum = 0;
      for (std::size_t run = 0; run < h.runs; ++run, at += 2)
        sum += all[at + 1].utility() - all[at].utility();
      lost.push_back(sum / static_cast<double>(h.runs));
    }
    return lost;
  }

  bool try_cut(found_day& found, const toml::table& t, const std::string& what) {
    const auto lost = losses({t}).front();
    if (!lost || *lost < h.keep * found.loss) return false;
    found.smallest = t;
    found.smallest_loss = *lost;
    found.steps.push_back(what);
    return true;
  }

  void cut_down(found_day& found, const setting& best) {
    for (bool shorter = true; shorter;) {
      shorter = false;
      if (const toml::array* all = found.smallest["trouble"].as_array())
        for (std::size_t i = all->size(); i-- > 0;) {
          toml::table t = found.smallest;
          toml::array& troubles = *t["trouble"].as_array();
          const std::string what = troubles[i].at_path("what").value_or(std::string("?"));
          troubles.erase(troubles.begin() + static_cast<std::ptrdiff_t>(i));
          if (try_cut(found, t, "without " + what)) {
            shorter = true;
            break;
          }
        }
      if (auto t = halved(found.smallest); t && try_cut(found, *t, "half the sidecars, servers and load"))
        shorter = true;
      toml::table brief = found.smallest;
      set_value(brief, "seconds", std::ceil(value_at(brief, "seconds") / 2));
      if (value_at(brief, "seconds") < value_at(found.smallest, "seconds") &&
          try_cut(found, brief, "half as long"))
        shorter = true;
    }
    for (std::size_t i = 0; i < ranges.size(); ++i) {
      // Paths into troubles that went lead nowhere.
      if (best[i] == base[i] || !found.smallest.at_path(ranges[i].path).value<double>()) continue;
      if (ranges[i].path.rfind("trouble[", 0) == 0 && !found.steps.empty()) continue;
      toml::table t = found.smallest;
      set_value(t, ranges[i].path, base[i]);
      try_cut(found, t, ranges[i].path + " as it was");
    }
  }

  static std::optional<toml::table> halved(const toml::table& from) {
    toml::table t = from;
    const double sidecars = value_at(t, "sidecars");
    toml::array* servers = t["server"].as_array();
    if (sidecars < 2 || !servers) return {};
    for (std::size_t i = 0; i < servers->size(); ++i) {
      const std::string path = "server[" + std::to_string(i) + "].count";
      if (value_at(t, path) < 2) return {};
      set_value(t, path, std::floor(value_at(t, path) / 2));
    }
    set_value(t, "sidecars", std::floor(sidecars / 2));
    set_value(t, "load.rate", value_at(t, "load.rate") / 2);
    return t;
  }

  const hunt& h;
  std::vector<range> ranges;
  std::uint64_t seed;
  std::vector<bool> whole;
  setting base;
  std::size_t played = 0;
};

}  // namespace

found_day search(const hunt& h) { return searcher(h).run(); }

}  // namespace indigorill::lab
