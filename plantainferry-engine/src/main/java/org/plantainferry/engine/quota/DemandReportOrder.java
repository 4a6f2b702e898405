package org.plantainferry.engine.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which demand reports count, because reports may arrive twice or out of order.
 *
 * <p>Each process numbers its reports upwards from 1. Not thread-safe.
 *
 * @since 0.4
 */
public final class DemandReportOrder {
    private final Map<String, NumberedReport> mNewestReports = new HashMap<>();

    private record NumberedReport(long process, long number) {}

    /**
     * Records a report if it is newer than all recorded ones of the same process.
     *
     * @param process the identifier of the process that sent it, which differs after a restart
     * @param number the number of the report; 0 from a build that does not number its reports
     * @return whether the report counts
     */
    public boolean accept(String instance, long process, long number) {
        NumberedReport newest = mNewestReports.get(instance);
        boolean isSameProcess = newest != null && newest.process == process;
        if (isSameProcess && number != 0 && number <= newest.number) {
            return false;
        }
        mNewestReports.put(instance, new NumberedReport(process, number));
        return true;
    }

    /** Discards the reports of all other instances. */
    public void retain(Set<String> instances) {
        mNewestReports.keySet().retainAll(instances);
    }
}
