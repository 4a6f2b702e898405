package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.json.Json;

/**
 * Records which instance holds which share slot of a failure domain: object {@code slots/DOMAIN}.
 *
 * @param shareSlots the number of slots of the domain when the latest writer's version had settled
 * @param totalShareSlots the number over all domains in that version
 * @param held the slots that have a holder, ordered by index
 * @since 0.1
 */
public record SlotTable(int shareSlots, int totalShareSlots, List<Slot> held) {
    /**
     * Names the holder of a slot.
     *
     * @param index counts from 0
     * @param holder the instance that owns the slot's part of every workspace
     * @since 0.1
     */
    public record Slot(int index, InstanceId holder) {
        /** Checks the values. */
        public Slot {
            Preconditions.condition(index >= 0, "index must not be negative: " + index);
            Preconditions.notNull(holder, "holder");
        }
    }

    /** Orders the slots and refuses a slot with two holders. */
    public SlotTable {
        Preconditions.condition(
                shareSlots >= 0 && totalShareSlots >= shareSlots,
                "totalShareSlots must not be less than shareSlots, nor this less than 0");
        held = held == null ? new ArrayList<>() : new ArrayList<>(held);
        held.sort(Comparator.comparingInt(Slot::index));
        held = List.copyOf(held);
        long different = held.stream().mapToInt(Slot::index).distinct().count();
        Preconditions.condition(different == held.size(), "a slot has more than one holder");
    }

    /**
     * Reads the object.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code CONFIGURATION_INVALID} when
     *     it is malformed
     */
    public static SlotTable fromJson(String text) {
        return Json.read(text, SlotTable.class, ErrorCode.CONFIGURATION_INVALID);
    }

    /** Returns the object as JSON. */
    public String toJson() {
        return Json.write(this);
    }

    /** Returns the indices of the slots that an instance holds. */
    public Set<Integer> indicesHeldBy(InstanceId instance) {
        return held.stream()
                .filter(slot -> slot.holder().equals(instance))
                .map(Slot::index)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns the holder of a slot. */
    public Optional<InstanceId> holder(int index) {
        return held.stream().filter(slot -> slot.index() == index).map(Slot::holder).findFirst();
    }

    /** Returns the indices below a number of slots that have no holder. */
    public List<Integer> freeIndices(int slots) {
        return IntStream.range(0, slots).filter(index -> holder(index).isEmpty()).boxed().toList();
    }

    /** Returns a copy in which an instance holds some more slots, whoever held them before. */
    SlotTable assigned(Set<Integer> indices, InstanceId holder) {
        List<Slot> slots = new ArrayList<>(without(indices).held);
        indices.forEach(index -> slots.add(new Slot(index, holder)));
        return new SlotTable(shareSlots, totalShareSlots, slots);
    }

    /** Returns a copy in which some slots have no holder. */
    SlotTable without(Set<Integer> indices) {
        return new SlotTable(
                shareSlots,
                totalShareSlots,
                held.stream().filter(slot -> !indices.contains(slot.index())).toList());
    }

    /** Returns a copy with other numbers of slots; slots past the end lose their holders. */
    SlotTable resized(int slots, int total) {
        return new SlotTable(
                slots, total, held.stream().filter(slot -> slot.index() < slots).toList());
    }
}
