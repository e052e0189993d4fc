#include "harness/Rig.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>

ABSL_FLAG(int, seconds, 6, "length of each measurement");

/// Measures the resources of an idle daemon as the number of engines, daemons and workspaces grows; docs/CAPACITY.md
/// uses the slopes.

namespace {

using namespace goldcrestcleat::harness;
using nlohmann::json;

struct Point {
    double x;
    double residentKib;
    double cpuShare; ///< of a core
    double bytesPerSecond;
};

double controlBytes(const Rig& rig)
{
    double total = 0;
    for (const char* kind : { "peer", "probe", "platform" })
        total += rig.metric(0, std::string("goldcrestcleat_control_bytes_total{kind=\"") + kind + "\"}");
    return total;
}

Point measure(const RigOptions& options, double x)
{
    Rig rig(options);
    rig.start();
    const int ms = absl::GetFlag(FLAGS_seconds) * 1000;
    sleepMs(2000);
    const double bytes = controlBytes(rig);
    const long long cpu = cpuMsOf(rig.daemon(0).pid());
    sleepMs(ms);
    return { x, static_cast<double>(residentKibOf(rig.daemon(0).pid())),
        static_cast<double>(cpuMsOf(rig.daemon(0).pid()) - cpu) / ms, (controlBytes(rig) - bytes) * 1000 / ms };
}

/// Prints the points, and the least-squares line of each quantity.
void print(const char* name, const std::vector<Point>& points)
{
    std::printf("%s\n", name);
    for (const auto& p : points)
        std::printf("  %6.0f  resident %6.0f KiB  cpu %.4f of a core  control %6.0f B/s\n", p.x, p.residentKib,
            p.cpuShare, p.bytesPerSecond);
    const auto line = [&](const char* unit, double Point::*y) {
        double sx = 0;
        double sy = 0;
        double sxx = 0;
        double sxy = 0;
        const auto n = static_cast<double>(points.size());
        for (const auto& p : points) {
            sx += p.x;
            sy += p.*y;
            sxx += p.x * p.x;
            sxy += p.x * p.*y;
        }
        const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
        std::printf("  line: %.4f + %.6f a piece %s\n", (sy - slope * sx) / n, slope, unit);
    };
    line("KiB", &Point::residentKib);
    line("of a core", &Point::cpuShare);
    line("B/s", &Point::bytesPerSecond);
    std::fflush(stdout);
}

RigOptions base()
{
    RigOptions options;
    options.daemons = 1;
    options.engines = 4;
    options.services = 1;
    options.settings = { { "logLevel", "warn" } };
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<Point> points;
    for (const int engines : { 4, 20, 100, 300, 600 }) {
        auto options = base();
        options.engineEntries = engines;
        points.push_back(measure(options, engines));
    }
    print("engines, all owned by one daemon", points);
    points.clear();
    for (const int daemons : { 2, 5, 10, 20, 40 }) {
        auto options = base();
        options.daemons = daemons;
        points.push_back(measure(options, daemons));
    }
    print("daemons, all connected to each other", points);
    points.clear();
    for (const int workspaces : { 2, 20, 100, 260, 1000 }) {
        auto options = base();
        options.workspaces = workspaces;
        points.push_back(measure(options, workspaces));
    }
    print("workspaces", points);
    return 0;
}
