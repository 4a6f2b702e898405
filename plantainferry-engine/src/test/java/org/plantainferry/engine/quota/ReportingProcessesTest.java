package org.plantainferry.engine.quota;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

/** Guards against a restarted instance that divides limits without the reports of the others. */
public final class ReportingProcessesTest {
    @Test
    public void answersOnlyTheFirstReportOfAProcess() {
        ReportingProcesses processes = new ReportingProcesses();
        assertTrue(processes.isFirstReport("i1", 7));
        assertFalse(processes.isFirstReport("i1", 7));
    }

    @Test
    public void answersAnInstanceAgainAfterItsRestart() {
        ReportingProcesses processes = new ReportingProcesses();
        processes.isFirstReport("i1", 7);
        assertTrue(processes.isFirstReport("i1", 8));
    }

    @Test
    public void answersAnInstanceAgainAfterItWasRemoved() {
        ReportingProcesses processes = new ReportingProcesses();
        processes.isFirstReport("i1", 7);
        processes.retain(Set.of("i2"));
        assertTrue(processes.isFirstReport("i1", 7));
    }
}
