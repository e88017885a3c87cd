package queue

// indexedHeap is a binary heap whose elements store their index, so that any of them can be removed or moved.
type indexedHeap[T any] struct {
	items   []T
	less    func(a, b T) bool
	indexOf func(item T) *int // where the element stores its index; notInHeap while it is in no heap
}

const notInHeap = -1

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) top() T { return h.items[0] }

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) pop() T {
	item := h.items[0]
	h.remove(item)
	return item
}

func (h *indexedHeap[T]) remove(item T) {
	index := *h.indexOf(item)
	if index == notInHeap {
		return
	}
	*h.indexOf(item) = notInHeap
	last := len(h.items) - 1
	moved := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if index == last {
		return
	}
	h.items[index] = moved
	if !h.down(index) {
		h.up(index)
	}
}

func (h *indexedHeap[T]) up(index int) {
	item := h.items[index]
	for index > 0 {
		parent := (index - 1) / 2
		if !h.less(item, h.items[parent]) {
			break
		}
		h.items[index] = h.items[parent]
		*h.indexOf(h.items[index]) = index
		index = parent
	}
	h.items[index] = item
	*h.indexOf(item) = index
}

// down moves the element at index towards the leaves and reports whether it moved.
func (h *indexedHeap[T]) down(index int) bool {
	item, start := h.items[index], index
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], item) {
			break
		}
		h.items[index] = h.items[child]
		*h.indexOf(h.items[index]) = index
		index = child
	}
	h.items[index] = item
	*h.indexOf(item) = index
	return index > start
}
