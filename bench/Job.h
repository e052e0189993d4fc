#pragma once

#include "bench/Trace.h"
#include "goldcrestcleat/routing/AdmissionController.h"
#include "goldcrestcleat/routing/Placement.h"

#include <memory>

namespace bench {

using goldcrestcleat::routing::PlacementChoice;
using goldcrestcleat::routing::PlacementQuery;
using goldcrestcleat::routing::TicketId;

/// A request in progress.
struct Job {
    Turn turn;
    int daemon = 0;
    int engine = -1;
    TicketId ticket = 0;
    TimeMs arrivedAt = 0;
    TimeMs endsAt = 0;
    PlacementQuery query;
    PlacementChoice choice;
    int denials = 0;
    int epoch = 0; // incremented on each move, so that the scheduled end of an earlier run is ignored
};
using JobPtr = std::shared_ptr<Job>;

} // namespace bench
