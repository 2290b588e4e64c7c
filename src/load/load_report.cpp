// Index
//   sample_set, load_result
//   JSON : class_json, to_json
//   HTML : colours, plots, table, to_html
#include "load_report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace dotterellock::load
{

namespace
{

using nlohmann::json;

constexpr std::array<double, 4> reported_quantiles = {0.5, 0.95, 0.99, 1.0};
constexpr std::array<char const*, 4> quantile_names = {
    "p50", "p95", "p99", "max"};

json percentiles(sample_set const& samples)
{
    json j = {{"count", samples.size()}};
    for (std::size_t i = 0; i < reported_quantiles.size(); ++i)
        j[quantile_names[i]] = samples.percentile(reported_quantiles[i]);
    return j;
}

json class_json(arrival_class const& c, class_result const& r)
{
    return {
        {"name", c.name},
        {"rank", to_string(c.rank)},
        {"planned", r.planned},
        {"sent", r.sent},
        {"complete", r.complete},
        {"wrong", r.wrong},
        {"unfinished", r.unfinished},
        {"skipped", r.skipped},
        {"reconnects", r.reconnects},
        {"refused", r.refused},
        {"within_target", r.within_target},
        {"tokens", r.tokens},
        {"first_token_ms", percentiles(r.first_token_ms)},
        {"token_gap_ms", percentiles(r.token_gap_ms)},
        {"longest_gap_ms", percentiles(r.longest_gap_ms)}};
}

// ---- HTML -----------------------------------------------------------------

constexpr std::array<char const*, 6> colours = {
    "#1b6ca8", "#c7522a", "#3b8f4d", "#7a4fa3", "#b8860b", "#555555"};
constexpr double plot_width = 640;
constexpr double plot_height = 220;
constexpr double margin = 48;

char const* series_colour(std::size_t i)
{
    return colours[i % colours.size()];
}

std::string escape(std::string const& text)
{
    std::string out;
    for (char const c : text)
    {
        if (c == '<')
            out += "&lt;";
        else if (c == '&')
            out += "&amp;";
        else
            out += c;
    }
    return out;
}

struct point
{
    double x = 0;
    double y = 0;
};

struct series
{
    std::string name;
    std::vector<point> points;
};

struct axis
{
    std::string label;
    double low = 0;
    double high = 1;
};

std::string tick_label(double value)
{
    std::ostringstream out;
    out << std::setprecision(3) << value;
    return out.str();
}

/// Renders a line plot as inline SVG; both axes are linear.
std::string plot(
    std::string const& title, axis const& x, axis const& y,
    std::vector<series> const& lines)
{
    constexpr int ticks = 4;
    std::ostringstream svg;
    svg << "<figure><figcaption>" << escape(title) << "</figcaption><svg "
        << "viewBox='0 0 " << plot_width + 2 * margin << ' '
        << plot_height + 2 * margin << "' width='720'>";
    for (int i = 0; i <= ticks; ++i)
    {
        double const fraction = double(i) / ticks;
        double const px = margin + fraction * plot_width;
        double const py = margin + (1 - fraction) * plot_height;
        svg << "<line x1='" << margin << "' x2='" << margin + plot_width
            << "' y1='" << py << "' y2='" << py << "' stroke='#ddd'/>"
            << "<text x='" << margin - 6 << "' y='" << py + 4
            << "' text-anchor='end'>"
            << tick_label(y.low + fraction * (y.high - y.low)) << "</text>"
            << "<text x='" << px << "' y='" << margin + plot_height + 18
            << "' text-anchor='middle'>"
            << tick_label(x.low + fraction * (x.high - x.low)) << "</text>";
    }
    for (std::size_t i = 0; i < lines.size(); ++i)
    {
        svg << "<polyline fill='none' stroke-width='1.6' stroke='"
            << series_colour(i) << "' points='";
        for (auto const& p : lines[i].points)
        {
            double const sx = (p.x - x.low) / std::max(x.high - x.low, 1e-9);
            double const sy = (p.y - y.low) / std::max(y.high - y.low, 1e-9);
            svg << margin + sx * plot_width << ','
                << margin + (1 - sy) * plot_height << ' ';
        }
        svg << "'/><text x='" << margin + 8 << "' y='"
            << margin + 14 + 15 * double(i) << "' fill='" << series_colour(i)
            << "'>" << escape(lines[i].name) << "</text>";
    }
    svg << "<text x='" << margin + plot_width / 2 << "' y='"
        << plot_height + 2 * margin - 8 << "' text-anchor='middle'>"
        << escape(x.label) << "</text><text x='12' y='" << margin - 12 << "'>"
        << escape(y.label) << "</text></svg></figure>";
    return svg.str();
}

std::string throughput_plot(experiment const& e, load_result const& r)
{
    std::vector<series> lines;
    axis x{"seconds", 0, 1};
    axis y{"tokens/s", 0, 1};
    for (std::size_t i = 0; i < r.classes.size(); ++i)
    {
        series line{e.classes[i].name, {}};
        auto const& counts = r.classes[i].tokens_per_second;
        for (std::size_t s = 0; s < counts.size(); ++s)
        {
            line.points.push_back({double(s), double(counts[s])});
            y.high = std::max(y.high, double(counts[s]));
        }
        x.high = std::max(x.high, double(counts.size()));
        lines.push_back(std::move(line));
    }
    return plot("Tokens received by class", x, y, lines);
}

std::string first_token_plot(experiment const& e, load_result const& r)
{
    std::vector<series> lines;
    axis const x{"percentile", 0, 100};
    axis y{"first token, log10 ms", 0, 1};
    for (std::size_t i = 0; i < r.classes.size(); ++i)
    {
        series line{e.classes[i].name, {}};
        auto const sorted = r.classes[i].first_token_ms.sorted();
        for (std::size_t s = 0; s < sorted.size(); ++s)
        {
            double const level = std::log10(std::max(sorted[s], 1.0));
            line.points.push_back(
                {100.0 * double(s + 1) / double(sorted.size()), level});
            y.high = std::max(y.high, level);
        }
        lines.push_back(std::move(line));
    }
    return plot("Time to first token by class", x, y, lines);
}

std::string summary_table(experiment const& e, load_result const& r)
{
    std::ostringstream t;
    t << "<table><tr><th>class<th>rank<th>sent<th>complete<th>wrong"
         "<th>unfinished<th>refused<th>reconnects<th>first token p50 ms"
         "<th>p95<th>p99<th>within target<th>longest gap p95 ms</tr>";
    for (std::size_t i = 0; i < r.classes.size(); ++i)
    {
        auto const& c = r.classes[i];
        std::uint64_t refused = 0;
        for (auto const& entry : c.refused)
            refused += entry.second;
        double const within_target_percent =
            c.sent == 0 ? 0 : 100.0 * double(c.within_target) / double(c.sent);
        t << std::fixed << std::setprecision(1) << "<tr><td>"
          << escape(e.classes[i].name) << "<td>" << to_string(e.classes[i].rank)
          << "<td>" << c.sent << "<td>" << c.complete << "<td>" << c.wrong
          << "<td>" << c.unfinished << "<td>" << refused << "<td>"
          << c.reconnects << "<td>" << c.first_token_ms.percentile(0.5)
          << "<td>" << c.first_token_ms.percentile(0.95) << "<td>"
          << c.first_token_ms.percentile(0.99) << "<td>"
          << within_target_percent << "%<td>"
          << c.longest_gap_ms.percentile(0.95) << "</tr>";
    }
    t << "</table>";
    return t.str();
}

} // namespace

double sample_set::percentile(double quantile) const
{
    if (values_.empty())
        return 0;
    std::vector<double> copy = values_;
    auto const rank = static_cast<std::size_t>(
        std::ceil(quantile * static_cast<double>(copy.size())));
    auto const nth =
        copy.begin() + static_cast<std::ptrdiff_t>(rank == 0 ? 0 : rank - 1);
    std::nth_element(copy.begin(), nth, copy.end());
    return *nth;
}

std::vector<double> sample_set::sorted() const
{
    std::vector<double> copy = values_;
    std::sort(copy.begin(), copy.end());
    return copy;
}

bool load_result::all_answers_correct() const
{
    return std::all_of(
        classes.begin(), classes.end(),
        [](class_result const& c)
        { return c.wrong == 0 && c.unfinished == 0; });
}

std::string to_json(experiment const& e, load_result const& r)
{
    json list = json::array();
    for (std::size_t i = 0; i < r.classes.size(); ++i)
        list.push_back(class_json(e.classes[i], r.classes[i]));
    json const all = {
        {"seed", e.seed},
        {"seconds", r.seconds},
        {"ok", r.all_answers_correct()},
        {"classes", std::move(list)}};
    return all.dump(2);
}

std::string to_html(experiment const& e, load_result const& r)
{
    std::ostringstream page;
    page << "<!doctype html><meta charset='utf-8'><title>load report</title>"
            "<style>body{font:14px sans-serif;margin:24px}table{border-"
            "collapse:collapse}td,th{border:1px solid #ccc;padding:4px 8px;"
            "text-align:right}figcaption{font-weight:bold}svg text{font-size:"
            "11px}</style><h1>Load report</h1><p>seed "
         << e.seed << ", " << r.seconds << " s</p>" << summary_table(e, r)
         << throughput_plot(e, r) << first_token_plot(e, r);
    return page.str();
}

} // namespace dotterellock::load
